//! The parser of the operators' query language.
//!
//! The grammar is in docs/LANGUAGE.md. `winnow` splits a statement into words; the statement is
//! parsed word by word, so that an error points at the wrong word and names what was expected.

use bridgevane_types::{DurationMs, EndpointId, ModelName, RequestId, ServiceName, VmId};
use derive_more::{Display, Error};
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// A table that `show` displays.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Table {
    /// The requests in flight.
    #[display("requests")]
    Requests,
    /// The engines of all services.
    #[display("engines")]
    Engines,
    /// The VMs of the data centre.
    #[display("vms")]
    Vms,
    /// The service classes.
    #[display("classes")]
    Classes,
    /// The service levels by class and window.
    #[display("burn")]
    Burn,
    /// The customers.
    #[display("customers")]
    Customers,
    /// The rollouts of model versions.
    #[display("rollouts")]
    Rollouts,
    /// The configuration in force.
    #[display("config")]
    Config,
    /// The accepted changes of the configuration.
    #[display("history")]
    History,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 9] = [
        Table::Requests,
        Table::Engines,
        Table::Vms,
        Table::Classes,
        Table::Burn,
        Table::Customers,
        Table::Rollouts,
        Table::Config,
        Table::History,
    ];
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Comparison {
    /// Equal.
    #[display("=")]
    Equal,
    /// Not equal.
    #[display("!=")]
    NotEqual,
    /// Less.
    #[display("<")]
    Less,
    /// Less or equal.
    #[display("<=")]
    LessOrEqual,
    /// Greater.
    #[display(">")]
    Greater,
    /// Greater or equal.
    #[display(">=")]
    GreaterOrEqual,
}

/// One condition of a `where` clause.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The name of the row's field; its unit `_ms` may be omitted.
    pub field: String,
    /// The comparison of the field with the value.
    pub comparison: Comparison,
    /// The value that the field is compared with: a number (durations in milliseconds) or a text.
    pub value: Operand,
}

/// A value in a statement.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Operand {
    /// A number; durations are in milliseconds.
    #[display("{_0}")]
    Number(f64),
    /// A text.
    #[display("{_0}")]
    Text(String),
}

/// The part of the configuration that a `set` statement changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A class.
    Class(String),
    /// A customer.
    Customer(String),
    /// A route of a plain service, by its prefix.
    Route(ServiceName, String),
}

/// A statement of the query language.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// `show TABLE [where …]`
    Show {
        /// The table to display.
        table: Table,
        /// The conditions, all of which must hold.
        conditions: Vec<Condition>,
    },
    /// `explain request ID`
    Explain(RequestId),
    /// `set class NAME FIELD = VALUE`, `set customer …`, `set route SERVICE PREFIX …`
    Set {
        /// The changed part of the configuration.
        target: Target,
        /// The changed field.
        field: String,
        /// The new value.
        value: Operand,
    },
    /// `roll out MODEL version N [batch K] [watch DURATION]`
    RollOut {
        /// The model that gets the version.
        model: ModelName,
        /// The version that all engines are to run.
        version: u64,
        /// The number of engines that change at the same time.
        batch: Option<u64>,
        /// The time for which each batch is watched.
        watch_ms: Option<DurationMs>,
    },
    /// `drain vm NAME`, `undrain vm NAME`
    DrainVm {
        /// The VM to drain or undrain.
        vm: VmId,
        /// Whether the statement is `drain`; otherwise it is `undrain`.
        is_drained: bool,
    },
    /// `drain engine SERVICE NAME`, `undrain engine SERVICE NAME`
    DrainEngine {
        /// The engine's service.
        service: ServiceName,
        /// The engine to drain or undrain.
        engine: EndpointId,
        /// Whether the statement is `drain`; otherwise it is `undrain`.
        is_drained: bool,
    },
}

/// The error of a statement that can't be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{statement}\n{pointer}\n{what}")]
pub struct SyntaxError {
    /// The statement as the operator sent it.
    pub statement: String,
    /// A line with `^` below the wrong word.
    pub pointer: String,
    /// What is wrong, and what was expected.
    pub what: String,
}

#[derive(Clone, Debug, PartialEq)]
struct Word {
    text: String,
    at: usize,
}

fn quoted(input: &mut &str) -> ModalResult<String> {
    delimited('"', take_till(0.., '"'), '"')
        .map(str::to_owned)
        .parse_next(input)
}

fn operator(input: &mut &str) -> ModalResult<String> {
    alt(("!=", "<=", ">=", "=", "<", ">"))
        .map(str::to_owned)
        .parse_next(input)
}

fn bare(input: &mut &str) -> ModalResult<String> {
    let is_part = |c: char| !c.is_whitespace() && !"=<>!\"".contains(c);
    take_while(1.., is_part)
        .map(str::to_owned)
        .parse_next(input)
}

/// Splits a statement into words with their positions.
fn words(statement: &str) -> Result<Vec<Word>, SyntaxError> {
    let whole = statement;
    let word = |input: &mut &str| {
        let at = whole.len() - input.len();
        alt((quoted, operator, bare))
            .map(|text| Word { text, at })
            .parse_next(input)
    };
    let mut input = statement;
    let split: ModalResult<Vec<Word>> =
        repeat(0.., preceded(multispace0, word)).parse_next(&mut input);
    // `repeat` stops at the first word that can't be read; the rest is reported below.
    let words = split.unwrap_or_default();
    let rest = input.trim_start();
    if rest.is_empty() {
        return Ok(words);
    }
    let at = statement.len() - rest.len();
    Err(error(
        statement,
        at,
        "this can't be read; close quotes with '\"'".into(),
    ))
}

fn error(statement: &str, at: usize, what: String) -> SyntaxError {
    let column = statement[..at.min(statement.len())].chars().count();
    SyntaxError {
        statement: statement.to_owned(),
        pointer: format!("{}^", " ".repeat(column)),
        what,
    }
}

struct Reader<'a> {
    statement: &'a str,
    words: Vec<Word>,
    next: usize,
}

impl Reader<'_> {
    fn fail<T>(&self, what: String) -> Result<T, SyntaxError> {
        let at = self
            .words
            .get(self.next)
            .map_or(self.statement.len(), |word| word.at);
        Err(error(self.statement, at, what))
    }

    fn peek(&self) -> Option<&str> {
        self.words.get(self.next).map(|word| word.text.as_str())
    }

    /// Reads the next word; `expected` describes it in errors.
    fn next_word(&mut self, expected: &str) -> Result<String, SyntaxError> {
        match self.peek() {
            Some(text) => {
                let text = text.to_owned();
                self.next += 1;
                Ok(text)
            }
            None => self.fail(format!("the statement ends here; expected {expected}")),
        }
    }

    fn expect(&mut self, word: &str) -> Result<(), SyntaxError> {
        match self.peek() {
            Some(found) if found.eq_ignore_ascii_case(word) => {
                self.next += 1;
                Ok(())
            }
            Some(found) => self.fail(format!("'{found}' is not expected; expected '{word}'")),
            None => self.fail(format!("the statement ends here; expected '{word}'")),
        }
    }

    /// Reads one of several words and returns its index.
    fn choice(&mut self, words: &[&str]) -> Result<usize, SyntaxError> {
        let expected = words.join(", ");
        let Some(found) = self.peek() else {
            return self.fail(format!(
                "the statement ends here; expected one of {expected}"
            ));
        };
        match words
            .iter()
            .position(|word| found.eq_ignore_ascii_case(word))
        {
            Some(at) => {
                self.next += 1;
                Ok(at)
            }
            None => self.fail(format!(
                "'{found}' is not known here; expected one of {expected}"
            )),
        }
    }

    /// Reads a whole number; durations are in milliseconds.
    fn whole_number(&mut self, expected: &str) -> Result<u64, SyntaxError> {
        match self.peek().map(operand) {
            Some(Operand::Number(number)) if number >= 0.0 && number.fract() == 0.0 => {
                self.next += 1;
                Ok(number as u64)
            }
            Some(_) => self.fail(format!("not a whole number; expected {expected}")),
            None => self.fail(format!("the statement ends here; expected {expected}")),
        }
    }

    fn expect_end(&self) -> Result<(), SyntaxError> {
        match self.peek() {
            None => Ok(()),
            Some(found) => self.fail(format!("'{found}' is too much; the statement is whole")),
        }
    }
}

/// Parses a statement.
///
/// # Errors
/// Returns a [`SyntaxError`], which points at the wrong word.
pub fn parse(statement: &str) -> Result<Statement, SyntaxError> {
    let mut reader = Reader {
        words: words(statement)?,
        statement,
        next: 0,
    };
    let read = match reader.choice(&["show", "explain", "set", "roll", "drain", "undrain"])? {
        0 => show(&mut reader)?,
        1 => explain(&mut reader)?,
        2 => set(&mut reader)?,
        3 => roll_out(&mut reader)?,
        4 => drain(&mut reader, true)?,
        _ => drain(&mut reader, false)?,
    };
    reader.expect_end()?;
    Ok(read)
}

fn show(reader: &mut Reader<'_>) -> Result<Statement, SyntaxError> {
    let names = Table::ALL.map(|table| table.to_string());
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let table = Table::ALL[reader.choice(&names)?];
    let mut conditions = Vec::new();
    if reader.peek().is_some() {
        reader.expect("where")?;
        conditions.push(condition(reader)?);
        while reader.peek().is_some() {
            reader.expect("and")?;
            conditions.push(condition(reader)?);
        }
    }
    Ok(Statement::Show { table, conditions })
}

fn condition(reader: &mut Reader<'_>) -> Result<Condition, SyntaxError> {
    const COMPARISONS: [Comparison; 6] = [
        Comparison::Equal,
        Comparison::NotEqual,
        Comparison::Less,
        Comparison::LessOrEqual,
        Comparison::Greater,
        Comparison::GreaterOrEqual,
    ];
    let field = reader.next_word("a field")?;
    let comparison = COMPARISONS[reader.choice(&["=", "!=", "<", "<=", ">", ">="])?];
    let value = operand(&reader.next_word("a value")?);
    Ok(Condition {
        field,
        comparison,
        value,
    })
}

/// Parses a number, a duration in milliseconds, or a text.
fn operand(text: &str) -> Operand {
    if let Ok(number) = text.parse::<f64>() {
        return Operand::Number(number);
    }
    match humantime::parse_duration(text) {
        Ok(duration) => Operand::Number(duration.as_millis() as f64),
        Err(_) => Operand::Text(text.to_owned()),
    }
}

fn explain(reader: &mut Reader<'_>) -> Result<Statement, SyntaxError> {
    reader.expect("request")?;
    let expected = "a request's id, as in req-0123…";
    match reader.peek().map(str::parse::<RequestId>) {
        Some(Ok(request)) => {
            reader.next += 1;
            Ok(Statement::Explain(request))
        }
        Some(Err(_)) => reader.fail(format!("not an id; expected {expected}")),
        None => reader.fail(format!("the statement ends here; expected {expected}")),
    }
}

fn set(reader: &mut Reader<'_>) -> Result<Statement, SyntaxError> {
    let target = match reader.choice(&["class", "customer", "route"])? {
        0 => Target::Class(reader.next_word("a class")?),
        1 => Target::Customer(reader.next_word("a customer")?),
        _ => {
            let service = reader.next_word("a service")?;
            let prefix = reader.next_word("a route's prefix")?;
            Target::Route(ServiceName::new(service), prefix)
        }
    };
    let field = reader.next_word("a field")?;
    reader.expect("=")?;
    let value = operand(&reader.next_word("a value")?);
    Ok(Statement::Set {
        target,
        field,
        value,
    })
}

fn roll_out(reader: &mut Reader<'_>) -> Result<Statement, SyntaxError> {
    reader.expect("out")?;
    let model = ModelName::new(reader.next_word("a model")?);
    reader.expect("version")?;
    let version = reader.whole_number("a version")?;
    let mut batch = None;
    let mut watch_ms = None;
    while reader.peek().is_some() {
        match reader.choice(&["batch", "watch"])? {
            0 => batch = Some(reader.whole_number("a number of engines")?),
            _ => watch_ms = Some(DurationMs(reader.whole_number("a duration such as 60s")?)),
        }
    }
    Ok(Statement::RollOut {
        model,
        version,
        batch,
        watch_ms,
    })
}

fn drain(reader: &mut Reader<'_>, is_drained: bool) -> Result<Statement, SyntaxError> {
    if reader.choice(&["vm", "engine"])? == 0 {
        let vm = VmId::new(reader.next_word("a VM")?);
        return Ok(Statement::DrainVm { vm, is_drained });
    }
    let service = ServiceName::new(reader.next_word("a service")?);
    let engine = EndpointId::new(reader.next_word("an engine")?);
    Ok(Statement::DrainEngine {
        service,
        engine,
        is_drained,
    })
}
