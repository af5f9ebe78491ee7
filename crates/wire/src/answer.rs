use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::answer;
use crate::request;

/// Complete HTTP response of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers as pairs of name and value, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, at most [`limit::BODY_BYTES`].
    pub body: Vec<u8>,
}

impl message::Message for Answer {
    type Owned = answer::Owned;

    fn write(&self, mut builder: answer::Builder<'_>) -> Result<(), error::Error> {
        builder.set_status(self.status);
        let count = request::count_headers(&self.headers)?;
        request::write_headers(&self.headers, builder.reborrow().init_headers(count));
        builder.set_body(field::check(
            self.body.as_slice(),
            limit::BODY_BYTES,
            "body",
        )?);
        Ok(())
    }

    fn read(reader: answer::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            status: reader.get_status(),
            headers: request::read_headers(reader.get_headers()?)?,
            body: field::data(reader.get_body(), limit::BODY_BYTES, "body")?,
        })
    }
}
