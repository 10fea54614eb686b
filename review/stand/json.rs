//! A small JSON reader and the base64 encoder, as far as the store's protocol needs them.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number, as written.
    Number(String),
    /// A text without its escapes.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; panics if it is malformed, since only daemons send any.
    pub fn parse(text: &str) -> Self {
        let mut chars = text.chars().peekable();
        parse_value(&mut chars)
    }

    /// Value of a field.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, value)| value)
    }

    /// Text of a field; empty without one.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Number of a field; 0 without one.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(text)) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Entries of a field that holds a list.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }
}

type Chars<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip_space(chars: &mut Chars<'_>) {
    while chars.next_if(|c| c.is_whitespace()).is_some() {}
}

fn parse_value(chars: &mut Chars<'_>) -> Json {
    skip_space(chars);
    let value = match chars.peek() {
        Some('{') => parse_object(chars),
        Some('[') => parse_list(chars),
        Some('"') => Json::Text(parse_text(chars)),
        Some(c) if c.is_ascii_digit() || *c == '-' => Json::Number(parse_word(chars)),
        _ => Json::Word(parse_word(chars)),
    };
    skip_space(chars);
    value
}

fn parse_word(chars: &mut Chars<'_>) -> String {
    let mut word = String::new();
    while let Some(c) = chars.next_if(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
        word.push(c);
    }
    assert!(!word.is_empty(), "malformed JSON");
    word
}

fn parse_text(chars: &mut Chars<'_>) -> String {
    chars.next();
    let mut text = String::new();
    loop {
        match chars.next().expect("an end of the text") {
            '"' => return text,
            '\\' => match chars.next().expect("an escaped character") {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                c => text.push(c),
            },
            c => text.push(c),
        }
    }
}

fn parse_list(chars: &mut Chars<'_>) -> Json {
    chars.next();
    let mut entries = Vec::new();
    skip_space(chars);
    while chars.next_if_eq(&']').is_none() {
        entries.push(parse_value(chars));
        chars.next_if_eq(&',');
        skip_space(chars);
    }
    Json::List(entries)
}

fn parse_object(chars: &mut Chars<'_>) -> Json {
    chars.next();
    let mut fields = Vec::new();
    skip_space(chars);
    while chars.next_if_eq(&'}').is_none() {
        let name = parse_text(chars);
        skip_space(chars);
        chars.next_if_eq(&':');
        fields.push((name, parse_value(chars)));
        chars.next_if_eq(&',');
        skip_space(chars);
    }
    Json::Object(fields)
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |n: usize| u32::from(group.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
