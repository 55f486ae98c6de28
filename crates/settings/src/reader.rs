//! Reads KDL nodes into Rust types and collects every problem with its position in the document.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use kdl::{KdlDocument, KdlNode, KdlValue};

/// One problem in a document. The message states what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: String,
    /// Line and column count from 1; the column counts characters.
    pub line: usize,
    pub column: usize,
    pub message: String,
}

/// All problems of a document. Displayed one per line, as `file:line:column: message`.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Problems {
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let end = if index + 1 < self.list.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", problem.file, problem.line, problem.column, problem.message)?;
        }
        Ok(())
    }
}

/// A document of one or more files, and the problems found in it so far.
pub struct Source {
    /// Name of each file, and the byte offset in `text` at which it begins.
    files: Vec<(String, usize)>,
    text: String,
    /// Byte offset and message of each problem.
    found: Rc<RefCell<Vec<(usize, String)>>>,
}

impl Source {
    /// Reads `text` with `read`. Returns its result only if no problem was found.
    pub fn read<T>(file: &str, text: &str, read: impl FnOnce(&Block) -> Option<T>) -> Result<T, Problems> {
        Source::read_parts(&[(file.to_owned(), text.to_owned())], read)
    }

    /// Reads several files as one document. Each problem is reported with the file it is in.
    pub fn read_parts<T>(
        parts: &[(String, String)],
        read: impl FnOnce(&Block) -> Option<T>,
    ) -> Result<T, Problems> {
        let mut source = Source { files: Vec::new(), text: String::new(), found: Rc::default() };
        for (file, text) in parts {
            source.files.push((file.clone(), source.text.len()));
            source.text.push_str(text);
            source.text.push('\n');
        }
        let text = source.text.as_str();
        if let Some(offset) = find_excess_depth(text) {
            source.found.borrow_mut().push((offset, format!("nested deeper than {MAX_DEPTH} levels")));
            return Err(source.problems());
        }
        let document = match KdlDocument::parse(text) {
            Ok(document) => document,
            Err(cause) => {
                for diagnostic in &cause.diagnostics {
                    let what = diagnostic.message.clone().unwrap_or_else(|| "not valid KDL".into());
                    let help = diagnostic.help.as_ref().map(|help| format!(" ({help})")).unwrap_or_default();
                    source.found.borrow_mut().push((diagnostic.span.offset(), format!("{what}{help}")));
                }
                return Err(source.problems());
            }
        };
        let top = Block::new(&source, None, Some(&document));
        let value = read(&top);
        top.reject_unknown();
        match value {
            Some(value) if source.found.borrow().is_empty() => Ok(value),
            _ => Err(source.problems()),
        }
    }

    fn problems(&self) -> Problems {
        let mut found = self.found.borrow().clone();
        if found.is_empty() {
            found.push((0, "the document could not be read".into()));
        }
        found.sort();
        found.dedup();
        let locate = |(offset, message): (usize, String)| {
            let (file, start) =
                self.files.iter().rev().find(|(_, start)| *start <= offset).cloned().unwrap_or_default();
            let preceding = self.text.get(start..offset.min(self.text.len())).unwrap_or("");
            let line = preceding.matches('\n').count() + 1;
            let column = preceding.rsplit('\n').next().map_or(0, |tail| tail.chars().count()) + 1;
            Problem { file, line, column, message }
        };
        Problems { list: found.into_iter().map(locate).collect() }
    }
}

/// Levels of nested nodes or comments. The parser recurses for each level, so deeper nesting could exhaust
/// the stack.
const MAX_DEPTH: usize = 16;

/// Offset at which a text exceeds [`MAX_DEPTH`]. Braces inside strings and comments count too: valid
/// documents contain only few of them.
fn find_excess_depth(text: &str) -> Option<usize> {
    let (mut nodes, mut comments) = (0usize, 0usize);
    let mut previous = ' ';
    for (offset, character) in text.char_indices() {
        match (previous, character) {
            (_, '{') => nodes += 1,
            (_, '}') => nodes = nodes.saturating_sub(1),
            ('/', '*') => comments += 1,
            ('*', '/') => comments = comments.saturating_sub(1),
            _ => {}
        }
        if nodes > MAX_DEPTH || comments > MAX_DEPTH {
            return Some(offset);
        }
        previous = character;
    }
    None
}

/// A duration in milliseconds, written with its unit: `"250ms"`, `"2s"`, `"1.5m"`, `"80us"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Millis(pub f64);

/// A whole number, plain or with a decimal multiplier: `64000` or `"64k"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count(pub u64);

/// A fraction from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share(pub f64);

/// An address in the loopback range. Any other is reported as a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackAddress(pub SocketAddr);

impl Default for LoopbackAddress {
    fn default() -> Self {
        LoopbackAddress(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

/// A type that can be read from one argument or property.
pub trait Value: Sized {
    /// Description of the allowed values for error messages.
    const ALLOWED: &'static str;
    /// `None` if the value is not allowed.
    fn parse(value: &KdlValue) -> Option<Self>;
}

fn non_negative_number(value: &KdlValue) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn parse_with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let split = text.find(|c: char| !(c.is_ascii_digit() || c == '.'))?;
    let (digits, unit) = text.split_at(split);
    let factor = units.iter().find(|(name, _)| *name == unit.trim())?.1;
    digits.parse::<f64>().ok().map(|value| value * factor).filter(|value| value.is_finite())
}

impl Value for Millis {
    const ALLOWED: &'static str = "a time with its unit, like \"250ms\", \"2s\" or \"1m\"";
    fn parse(value: &KdlValue) -> Option<Self> {
        let units = [("us", 1e-3), ("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];
        parse_with_unit(value.as_string()?, &units).map(Millis)
    }
}

impl Value for Count {
    const ALLOWED: &'static str = "a whole number, plain or like \"64k\" or \"2M\"";
    fn parse(value: &KdlValue) -> Option<Self> {
        if let Some(text) = value.as_string() {
            let value = parse_with_unit(text, &[("k", 1e3), ("M", 1e6)])?;
            return (value.fract() == 0.0).then_some(Count(value as u64));
        }
        value.as_integer().and_then(|whole| u64::try_from(whole).ok()).map(Count)
    }
}

impl Value for Share {
    const ALLOWED: &'static str = "a share from 0 to 1";
    fn parse(value: &KdlValue) -> Option<Self> {
        non_negative_number(value).filter(|share| *share <= 1.0).map(Share)
    }
}

impl Value for f64 {
    const ALLOWED: &'static str = "a number that is not negative";
    fn parse(value: &KdlValue) -> Option<Self> {
        non_negative_number(value)
    }
}

impl Value for bool {
    const ALLOWED: &'static str = "#true or #false";
    fn parse(value: &KdlValue) -> Option<Self> {
        value.as_bool()
    }
}

impl Value for String {
    const ALLOWED: &'static str = "a text";
    fn parse(value: &KdlValue) -> Option<Self> {
        value.as_string().filter(|text| !text.is_empty()).map(str::to_owned)
    }
}

impl Value for LoopbackAddress {
    const ALLOWED: &'static str = "an address on the loopback range with its port, like \"127.0.0.1:0\"";
    fn parse(value: &KdlValue) -> Option<Self> {
        let address: SocketAddr = value.as_string()?.parse().ok()?;
        address.ip().is_loopback().then_some(LoopbackAddress(address))
    }
}

/// A node with its children, or the whole document. Reading a child, a property or an argument marks it as
/// known; [`Block::reject_unknown`] reports the rest as problems.
pub struct Block<'a> {
    source: &'a Source,
    node: Option<&'a KdlNode>,
    children: Option<&'a KdlDocument>,
    known_children: RefCell<BTreeSet<&'static str>>,
    known_properties: RefCell<BTreeSet<&'static str>>,
    /// Number of arguments read so far.
    arguments_read: RefCell<usize>,
}

impl<'a> Block<'a> {
    fn new(source: &'a Source, node: Option<&'a KdlNode>, children: Option<&'a KdlDocument>) -> Self {
        Block {
            source,
            node,
            children,
            known_children: RefCell::default(),
            known_properties: RefCell::default(),
            arguments_read: RefCell::default(),
        }
    }

    /// The KDL node; `None` for the whole document.
    pub fn node(&self) -> Option<&'a KdlNode> {
        self.node
    }

    pub fn problem(&self, message: impl Into<String>) {
        self.problem_at(self.node.map_or(0, |node| node.span().offset()), message);
    }

    /// Reports a problem at the child of that name. Does nothing if there is no such child, or if a problem
    /// is already reported within it.
    pub fn problem_of(&self, name: &str, message: impl Into<String>) {
        let Some(node) = self.children.and_then(|children| children.get(name)) else { return };
        let span = node.span();
        let within =
            |(offset, _): &(usize, String)| (span.offset()..span.offset() + span.len()).contains(offset);
        if !self.source.found.borrow().iter().any(within) {
            self.problem_at(span.offset(), message);
        }
    }

    fn problem_at(&self, offset: usize, message: impl Into<String>) {
        self.source.found.borrow_mut().push((offset, message.into()));
    }

    /// The block's name for error messages.
    fn title(&self) -> String {
        self.node.map_or("the document".into(), |node| format!("'{}'", node.name().value()))
    }

    fn nodes(&self, name: &'static str) -> Vec<&'a KdlNode> {
        self.known_children.borrow_mut().insert(name);
        let all = self.children.map(KdlDocument::nodes).unwrap_or_default();
        all.iter().filter(|node| node.name().value() == name).collect()
    }

    /// All children of that name.
    pub fn blocks(&self, name: &'static str) -> Vec<Block<'a>> {
        let block = |node: &'a KdlNode| Block::new(self.source, Some(node), node.children());
        self.nodes(name).into_iter().map(block).collect()
    }

    /// The child of that name, if any. A second one is a problem.
    pub fn block(&self, name: &'static str) -> Option<Block<'a>> {
        let mut blocks = self.blocks(name).into_iter();
        let first = blocks.next();
        blocks.for_each(|extra| extra.problem(format!("'{name}' appears a second time; once is allowed")));
        first
    }

    /// The child of that name; reports a problem if there is none.
    pub fn need_block(&self, name: &'static str) -> Option<Block<'a>> {
        let block = self.block(name);
        if block.is_none() {
            self.problem(format!("{} lacks '{name}'", self.title()));
        }
        block
    }

    /// The value of an optional child.
    pub fn optional<T: Value>(&self, name: &'static str) -> Option<T> {
        let block = self.block(name)?;
        let value = block.argument();
        block.reject_unknown();
        value
    }

    /// The value of a required child. After a problem it is the default, which is never used because the
    /// document is rejected.
    pub fn need<T: Value + Default>(&self, name: &'static str) -> T {
        if self.nodes(name).is_empty() {
            self.problem(format!("{} lacks '{name}' with {}", self.title(), T::ALLOWED));
            return T::default();
        }
        self.optional(name).unwrap_or_default()
    }

    /// The value of a child that must be one of `words`. A missing child gives `otherwise`; if that is
    /// `None`, the child is required.
    pub fn choice<T: Copy>(
        &self,
        name: &'static str,
        words: &[(&str, T)],
        otherwise: Option<T>,
    ) -> Option<T> {
        let Some(block) = self.block(name) else {
            if otherwise.is_none() {
                self.problem(format!("{} lacks '{name}' with {}", self.title(), one_of(words)));
            }
            return otherwise;
        };
        let word: Option<String> = block.argument();
        block.reject_unknown();
        let word = word?;
        let found = words.iter().find(|(known, _)| *known == word).map(|(_, value)| *value);
        if found.is_none() {
            block.problem(format!("'{name}' is \"{word}\"; allowed is {}", one_of(words)));
        }
        found
    }

    /// The next argument of this node. Only the first one is required: reports a problem if the node has
    /// none.
    pub fn argument<T: Value>(&self) -> Option<T> {
        let value = self.next_argument();
        if value.is_none() && self.arguments_read.borrow_mut().eq(&0) {
            self.problem(format!("{} needs {}", self.title(), T::ALLOWED));
        }
        value
    }

    /// All remaining arguments of this node.
    pub fn arguments<T: Value>(&self) -> Vec<T> {
        std::iter::from_fn(|| self.next_argument()).collect()
    }

    fn next_argument<T: Value>(&self) -> Option<T> {
        let node = self.node?;
        let mut index = self.arguments_read.borrow_mut();
        let entry = node.entries().iter().filter(|entry| entry.name().is_none()).nth(*index)?;
        *index += 1;
        let value = T::parse(entry.value());
        if value.is_none() {
            let message = format!("{} is {}; allowed is {}", self.title(), entry.value(), T::ALLOWED);
            self.problem_at(entry.span().offset(), message);
        }
        value
    }

    /// An optional property (`name=value`).
    pub fn property<T: Value>(&self, name: &'static str) -> Option<T> {
        self.known_properties.borrow_mut().insert(name);
        let entry = self
            .node?
            .entries()
            .iter()
            .find(|entry| entry.name().is_some_and(|known| known.value() == name))?;
        let value = T::parse(entry.value());
        if value.is_none() {
            let message = format!("'{name}' is {}; allowed is {}", entry.value(), T::ALLOWED);
            self.problem_at(entry.span().offset(), message);
        }
        value
    }

    /// A required property.
    pub fn need_property<T: Value + Default>(&self, name: &'static str) -> T {
        let is_set = |node: &KdlNode| node.entry(name).is_some();
        if !self.node.is_some_and(is_set) {
            self.known_properties.borrow_mut().insert(name);
            self.problem(format!("{} lacks {name}={}", self.title(), T::ALLOWED));
            return T::default();
        }
        self.property(name).unwrap_or_default()
    }

    /// Whether there is a child of that name. Marks the name as known.
    pub fn has(&self, name: &'static str) -> bool {
        !self.nodes(name).is_empty()
    }

    /// Marks a child of that name as known without reading it.
    pub fn skip(&self, name: &'static str) {
        self.known_children.borrow_mut().insert(name);
    }

    /// Reports every child, property and argument that was not read, with the most similar known name.
    pub fn reject_unknown(&self) {
        let known = self.known_children.borrow();
        for node in self.children.map(KdlDocument::nodes).unwrap_or_default() {
            let name = node.name().value();
            if !known.contains(name) {
                let hint = known_name_hint(name, &known);
                let message = format!("'{name}' is not known in {}{hint}", self.title());
                self.problem_at(node.span().offset(), message);
            }
        }
        let Some(node) = self.node else { return };
        let properties = self.known_properties.borrow();
        let mut expected_arguments = *self.arguments_read.borrow();
        for entry in node.entries() {
            match entry.name() {
                Some(name) if !properties.contains(name.value()) => {
                    let hint = known_name_hint(name.value(), &properties);
                    let message = format!("'{}' is not known at {}{hint}", name.value(), self.title());
                    self.problem_at(entry.span().offset(), message);
                }
                None if expected_arguments == 0 => {
                    let message = format!("{} has the unexpected argument {}", self.title(), entry.value());
                    self.problem_at(entry.span().offset(), message);
                }
                None => expected_arguments -= 1,
                _ => {}
            }
        }
    }
}

fn one_of<T>(words: &[(&str, T)]) -> String {
    let quoted: Vec<_> = words.iter().map(|(word, _)| format!("\"{word}\"")).collect();
    match quoted.len() {
        1 => quoted.join(""),
        _ => format!("one of {}", quoted.join(", ")),
    }
}

/// Hint for an unknown name: a similar known name, or all known names.
fn known_name_hint(name: &str, known: &BTreeSet<&'static str>) -> String {
    let closest = known.iter().map(|word| (strsim::damerau_levenshtein(name, word), *word)).min();
    match closest {
        Some((distance, word)) if distance <= word.len().max(4) / 2 => format!("; did you mean '{word}'?"),
        _ if known.is_empty() => "; no name is allowed here".into(),
        _ => format!("; known are {}", known.iter().copied().collect::<Vec<_>>().join(", ")),
    }
}
