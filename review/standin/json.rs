//! JSON values, as far as the store's calls need them.

use std::{iter::Peekable, str::Chars};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        parse_value(&mut text.chars().peekable())
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    /// Returns the text of a field, or an empty one.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the number in a field, or 0.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list in a field.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }
}

fn skip_space(chars: &mut Peekable<Chars<'_>>) {
    while chars.next_if(|it| it.is_whitespace()).is_some() {}
}

fn parse_value(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    skip_space(chars);
    match *chars.peek()? {
        '{' => parse_object(chars),
        '[' => parse_list(chars),
        '"' => parse_text(chars).map(Json::Text),
        't' | 'f' | 'n' => parse_word(chars),
        _ => parse_number(chars),
    }
}

fn parse_object(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    chars.next();
    let mut fields = Vec::new();
    loop {
        skip_space(chars);
        match *chars.peek()? {
            '}' => {
                chars.next();
                return Some(Json::Object(fields));
            }
            ',' => {
                chars.next();
            }
            _ => {
                let name = parse_text(chars)?;
                skip_space(chars);
                chars.next_if_eq(&':')?;
                fields.push((name, parse_value(chars)?));
            }
        }
    }
}

fn parse_list(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    chars.next();
    let mut entries = Vec::new();
    loop {
        skip_space(chars);
        match *chars.peek()? {
            ']' => {
                chars.next();
                return Some(Json::List(entries));
            }
            ',' => {
                chars.next();
            }
            _ => entries.push(parse_value(chars)?),
        }
    }
}

fn parse_text(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    chars.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => text.push(parse_escape(chars)?),
            other => text.push(other),
        }
    }
}

fn parse_escape(chars: &mut Peekable<Chars<'_>>) -> Option<char> {
    match chars.next()? {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        'u' => {
            let digits: String = chars.take(4).collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        other => Some(other),
    }
}

fn parse_word(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    let mut word = String::new();
    while let Some(letter) = chars.next_if(char::is_ascii_alphabetic) {
        word.push(letter);
    }
    match word.as_str() {
        "true" => Some(Json::Bool(true)),
        "false" => Some(Json::Bool(false)),
        "null" => Some(Json::Null),
        _ => None,
    }
}

fn parse_number(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    let mut text = String::new();
    while let Some(digit) = chars.next_if(|it| it.is_ascii_digit() || "+-.eE".contains(*it)) {
        text.push(digit);
    }
    text.parse().ok().map(Json::Number)
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
