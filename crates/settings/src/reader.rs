//! Reads KDL nodes into our types, and keeps every problem found with its place.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use kdl::{KdlDocument, KdlNode, KdlValue};

/// One thing that is wrong in a document: where, what was found and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: String,
    /// From 1; the column counts characters.
    pub line: usize,
    pub column: usize,
    pub message: String,
}

/// All that is wrong with a document; shown as `file:line:column: message`, a line each.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Problems {
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (row, problem) in self.list.iter().enumerate() {
            let end = if row + 1 < self.list.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", problem.file, problem.line, problem.column, problem.message)?;
        }
        Ok(())
    }
}

/// A document of one or more files and what was found wrong in it so far.
pub struct Source {
    /// Names of the files and where in the text each begins.
    files: Vec<(String, usize)>,
    text: String,
    found: Rc<RefCell<Vec<(usize, String)>>>,
}

impl Source {
    /// Reads `text` with `read`; the result stands only if nothing was found wrong.
    pub fn read<T>(file: &str, text: &str, read: impl FnOnce(&Block) -> Option<T>) -> Result<T, Problems> {
        Source::read_parts(&[(file.to_owned(), text.to_owned())], read)
    }

    /// Reads some files as one document; each problem is reported with its own file.
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
        if let Some(offset) = too_deep(text) {
            source.found.borrow_mut().push((offset, format!("nested deeper than {DEPTH_MAX} levels")));
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
        let place = |(offset, message): (usize, String)| {
            let (file, start) =
                self.files.iter().rev().find(|(_, start)| *start <= offset).cloned().unwrap_or_default();
            let before = self.text.get(start..offset.min(self.text.len())).unwrap_or("");
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().map_or(0, |tail| tail.chars().count()) + 1;
            Problem { file, line, column, message }
        };
        Problems { list: found.into_iter().map(place).collect() }
    }
}

/// Levels of nodes or comments within one another; the parser needs stack for each.
const DEPTH_MAX: usize = 16;

/// Where a text is nested too deep. Brackets within texts and comments count too: no document of ours has many.
fn too_deep(text: &str) -> Option<usize> {
    let (mut nodes, mut comments) = (0usize, 0usize);
    let mut before = ' ';
    for (offset, sign) in text.char_indices() {
        match (before, sign) {
            (_, '{') => nodes += 1,
            (_, '}') => nodes = nodes.saturating_sub(1),
            ('/', '*') => comments += 1,
            ('*', '/') => comments = comments.saturating_sub(1),
            _ => {}
        }
        if nodes > DEPTH_MAX || comments > DEPTH_MAX {
            return Some(offset);
        }
        before = sign;
    }
    None
}

/// A duration in milliseconds, written with its unit: `"250ms"`, `"2s"`, `"1.5m"`, `"80us"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Millis(pub f64);

/// A whole number of things, written plainly or with a multiple: `64000` or `"64k"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count(pub u64);

/// A share from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share(pub f64);

/// An address on the loopback range; any other is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackAddress(pub SocketAddr);

impl Default for LoopbackAddress {
    fn default() -> Self {
        LoopbackAddress(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

/// What can stand as one argument.
pub trait Value: Sized {
    const ALLOWED: &'static str;
    fn parse(value: &KdlValue) -> Option<Self>;
}

fn number(value: &KdlValue) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let split = text.find(|c: char| !(c.is_ascii_digit() || c == '.'))?;
    let (digits, unit) = text.split_at(split);
    let factor = units.iter().find(|(name, _)| *name == unit.trim())?.1;
    digits.parse::<f64>().ok().map(|value| value * factor).filter(|value| value.is_finite())
}

impl Value for Millis {
    const ALLOWED: &'static str = "a time with its unit, like \"250ms\", \"2s\" or \"1m\"";
    fn parse(value: &KdlValue) -> Option<Self> {
        let units = [("us", 1e-3), ("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];
        with_unit(value.as_string()?, &units).map(Millis)
    }
}

impl Value for Count {
    const ALLOWED: &'static str = "a whole number, plain or like \"64k\" or \"2M\"";
    fn parse(value: &KdlValue) -> Option<Self> {
        if let Some(text) = value.as_string() {
            let value = with_unit(text, &[("k", 1e3), ("M", 1e6)])?;
            return (value.fract() == 0.0).then_some(Count(value as u64));
        }
        value.as_integer().and_then(|whole| u64::try_from(whole).ok()).map(Count)
    }
}

impl Value for Share {
    const ALLOWED: &'static str = "a share from 0 to 1";
    fn parse(value: &KdlValue) -> Option<Self> {
        number(value).filter(|share| *share <= 1.0).map(Share)
    }
}

impl Value for f64 {
    const ALLOWED: &'static str = "a number that is not negative";
    fn parse(value: &KdlValue) -> Option<Self> {
        number(value)
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

/// A node with its children, or the whole document. Names not asked for by `done` are problems.
pub struct Block<'a> {
    source: &'a Source,
    node: Option<&'a KdlNode>,
    children: Option<&'a KdlDocument>,
    known: RefCell<BTreeSet<&'static str>>,
    properties: RefCell<BTreeSet<&'static str>>,
    arguments: RefCell<usize>,
}

impl<'a> Block<'a> {
    fn new(source: &'a Source, node: Option<&'a KdlNode>, children: Option<&'a KdlDocument>) -> Self {
        Block {
            source,
            node,
            children,
            known: RefCell::default(),
            properties: RefCell::default(),
            arguments: RefCell::default(),
        }
    }

    /// The node as it was written.
    pub fn node(&self) -> Option<&'a KdlNode> {
        self.node
    }

    pub fn problem(&self, message: impl Into<String>) {
        self.problem_at(self.node.map_or(0, |node| node.span().offset()), message);
    }

    /// A problem with the child of that name, at its place; says nothing where that could not be read anyway.
    pub fn problem_of(&self, name: &str, message: impl Into<String>) {
        let Some(node) = self.children.and_then(|children| children.get(name)) else { return };
        let span = node.span();
        let known =
            |(offset, _): &(usize, String)| (span.offset()..span.offset() + span.len()).contains(offset);
        if !self.source.found.borrow().iter().any(known) {
            self.problem_at(span.offset(), message);
        }
    }

    fn problem_at(&self, offset: usize, message: impl Into<String>) {
        self.source.found.borrow_mut().push((offset, message.into()));
    }

    fn title(&self) -> String {
        self.node.map_or("the document".into(), |node| format!("'{}'", node.name().value()))
    }

    fn nodes(&self, name: &'static str) -> Vec<&'a KdlNode> {
        self.known.borrow_mut().insert(name);
        let all = self.children.map(KdlDocument::nodes).unwrap_or_default();
        all.iter().filter(|node| node.name().value() == name).collect()
    }

    /// Each child of that name.
    pub fn blocks(&self, name: &'static str) -> Vec<Block<'a>> {
        let block = |node: &'a KdlNode| Block::new(self.source, Some(node), node.children());
        self.nodes(name).into_iter().map(block).collect()
    }

    /// The one child of that name; a second one is a problem.
    pub fn block(&self, name: &'static str) -> Option<Block<'a>> {
        let mut blocks = self.blocks(name).into_iter();
        let first = blocks.next();
        blocks
            .for_each(|again| again.problem(format!("'{name}' stands here a second time; once is allowed")));
        first
    }

    /// The one child of that name, which must be there.
    pub fn need_block(&self, name: &'static str) -> Option<Block<'a>> {
        let block = self.block(name);
        if block.is_none() {
            self.problem(format!("{} lacks '{name}'", self.title()));
        }
        block
    }

    /// The value of a child that may be left out.
    pub fn optional<T: Value>(&self, name: &'static str) -> Option<T> {
        let block = self.block(name)?;
        let value = block.argument();
        block.reject_unknown();
        value
    }

    /// The value of a child that must be there; what stands for it after a problem is never used.
    pub fn need<T: Value + Default>(&self, name: &'static str) -> T {
        if self.nodes(name).is_empty() {
            self.problem(format!("{} lacks '{name}' with {}", self.title(), T::ALLOWED));
            return T::default();
        }
        self.optional(name).unwrap_or_default()
    }

    /// The value of a child that must be one of the words given.
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

    /// The next argument of this node, which must be there.
    pub fn argument<T: Value>(&self) -> Option<T> {
        let value = self.next_argument();
        if value.is_none() && self.arguments.borrow_mut().eq(&0) {
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
        let mut at = self.arguments.borrow_mut();
        let entry = node.entries().iter().filter(|entry| entry.name().is_none()).nth(*at)?;
        *at += 1;
        let value = T::parse(entry.value());
        if value.is_none() {
            let message = format!("{} is {}; allowed is {}", self.title(), entry.value(), T::ALLOWED);
            self.problem_at(entry.span().offset(), message);
        }
        value
    }

    /// A property (`name=value`) that may be left out.
    pub fn property<T: Value>(&self, name: &'static str) -> Option<T> {
        self.properties.borrow_mut().insert(name);
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

    /// A property that must be there.
    pub fn need_property<T: Value + Default>(&self, name: &'static str) -> T {
        let there = |node: &KdlNode| node.entry(name).is_some();
        if !self.node.is_some_and(there) {
            self.properties.borrow_mut().insert(name);
            self.problem(format!("{} lacks {name}={}", self.title(), T::ALLOWED));
            return T::default();
        }
        self.property(name).unwrap_or_default()
    }

    /// Whether a child of that name stands here, asked for or not.
    pub fn has(&self, name: &'static str) -> bool {
        !self.nodes(name).is_empty()
    }

    /// Accepts a child of that name without reading it.
    pub fn skip(&self, name: &'static str) {
        self.known.borrow_mut().insert(name);
    }

    /// Every name that was not asked for is a problem, with the nearest known one.
    pub fn reject_unknown(&self) {
        let known = self.known.borrow();
        for node in self.children.map(KdlDocument::nodes).unwrap_or_default() {
            let name = node.name().value();
            if !known.contains(name) {
                let hint = nearest(name, &known);
                let message = format!("'{name}' is not known in {}{hint}", self.title());
                self.problem_at(node.span().offset(), message);
            }
        }
        let Some(node) = self.node else { return };
        let properties = self.properties.borrow();
        let mut spare = *self.arguments.borrow();
        for entry in node.entries() {
            match entry.name() {
                Some(name) if !properties.contains(name.value()) => {
                    let hint = nearest(name.value(), &properties);
                    let message = format!("'{}' is not known at {}{hint}", name.value(), self.title());
                    self.problem_at(entry.span().offset(), message);
                }
                None if spare == 0 => {
                    let message = format!("{} has {} too much", self.title(), entry.value());
                    self.problem_at(entry.span().offset(), message);
                }
                None => spare -= 1,
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

fn nearest(name: &str, known: &BTreeSet<&'static str>) -> String {
    let near = known.iter().map(|word| (strsim::damerau_levenshtein(name, word), *word)).min();
    match near {
        Some((far, word)) if far <= word.len().max(4) / 2 => format!("; did you mean '{word}'?"),
        _ if known.is_empty() => "; nothing may stand here".into(),
        _ => format!("; known are {}", known.iter().copied().collect::<Vec<_>>().join(", ")),
    }
}
