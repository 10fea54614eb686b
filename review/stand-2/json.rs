//! A small JSON reader, for transactions that daemons send to the stand-in of the store.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == text.len()).then_some(value)
    }

    /// Field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Number of a field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Elements of a field that is a list.
    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        self.text[self.at..].starts_with(expected.as_bytes()).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.text.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.text.get(self.at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[from..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend_from_slice(code.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut list = Vec::new();
        loop {
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.take(",")?;
            }
            list.push(self.value()?);
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        loop {
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Json::Table(fields));
            }
            if !fields.is_empty() {
                self.take(",")?;
                self.skip_space();
            }
            let name = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.push((name, self.value()?));
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, b| word << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63];
            out.push(if n <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
