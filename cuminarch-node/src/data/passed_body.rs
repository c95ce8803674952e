//! HTTP bodies that the node writes, towards callers and towards its upstream.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::body::BrokenBody;

type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, BrokenBody>>>>;

/// Either a body in memory or one that is passed on as it comes. It need not be
/// `Send`: a connection stays on its thread.
pub enum PassedBody {
    /// In memory.
    Held(Full<Bytes>),
    /// Passed on.
    Passed(FrameStream),
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        match self.get_mut() {
            Self::Held(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| {
                    frame.map(|frame| frame.map_err(|never: Infallible| match never {}))
                })
            }
            Self::Passed(body) => body.as_mut().poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(body) => body.is_end_stream(),
            Self::Passed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(body) => body.size_hint(),
            Self::Passed(_) => SizeHint::default(),
        }
    }
}
