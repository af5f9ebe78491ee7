use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::{header, request};

/// Headers as pairs of name and value, in order.
pub type Headers = Vec<(String, Vec<u8>)>;

/// Complete HTTP request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Target of the request: the model or service and the path at the endpoint, in
    /// the form in which crate `host` packs them.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: Headers,
    /// Body, at most [`limit::BODY_BYTES`].
    pub body: Vec<u8>,
}

impl message::Message for Request {
    type Owned = request::Owned;

    fn write(&self, mut builder: request::Builder<'_>) -> Result<(), error::Error> {
        builder.set_method(field::check(
            self.method.as_str(),
            limit::NAME_BYTES,
            "method",
        )?);
        builder.set_path(field::check(
            self.path.as_str(),
            limit::VALUE_BYTES,
            "path",
        )?);
        let count = count_headers(&self.headers)?;
        write_headers(&self.headers, builder.reborrow().init_headers(count));
        builder.set_body(field::check(
            self.body.as_slice(),
            limit::BODY_BYTES,
            "body",
        )?);
        Ok(())
    }

    fn read(reader: request::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            method: field::text(reader.get_method(), limit::NAME_BYTES, "method")?,
            path: field::text(reader.get_path(), limit::VALUE_BYTES, "path")?,
            headers: read_headers(reader.get_headers()?)?,
            body: field::data(reader.get_body(), limit::BODY_BYTES, "body")?,
        })
    }
}

/// Checks number and lengths of headers and returns their number.
pub fn count_headers(headers: &Headers) -> Result<u32, error::Error> {
    let mut bytes = 0;
    for (name, value) in headers {
        field::check(name.as_str(), limit::NAME_BYTES, "header name")?;
        field::check(value.as_slice(), limit::VALUE_BYTES, "header value")?;
        bytes += name.len() + value.len();
    }
    field::count(bytes, limit::HEADER_BYTES, "headers")?;
    field::count(headers.len(), limit::HEADERS, "headers")
}

/// Writes headers that [`count_headers`] has checked.
pub fn write_headers(
    headers: &Headers,
    mut builder: capnp::struct_list::Builder<'_, header::Owned>,
) {
    for (index, (name, value)) in (0..).zip(headers) {
        let mut header = builder.reborrow().get(index);
        header.set_name(name.as_str());
        header.set_value(value);
    }
}

/// Reads headers and checks their number and lengths.
pub fn read_headers(
    reader: capnp::struct_list::Reader<'_, header::Owned>,
) -> Result<Headers, error::Error> {
    field::count(reader.len() as usize, limit::HEADERS, "headers")?;
    let mut headers = Headers::with_capacity(reader.len() as usize);
    for header in reader {
        let name = field::text(header.get_name(), limit::NAME_BYTES, "header name")?;
        let value = field::data(header.get_value(), limit::VALUE_BYTES, "header value")?;
        headers.push((name, value));
    }
    count_headers(&headers)?;
    Ok(headers)
}
