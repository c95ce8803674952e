use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::LinkFault;

/// A TCP proxy on loopback with fault injection.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl LinkProxy {
    /// Maximum number of bytes forwarded at a time.
    const BUFFER_BYTES: usize = 16 * 1_024;

    /// Starts a proxy to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::None);
        tokio::spawn(serve(listener, target, faults));
        Ok(Self { address, fault })
    }

    /// Returns the address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all connections from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, faults: watch::Receiver<LinkFault>) {
    while let Ok((client, _)) = listener.accept().await {
        if *faults.borrow() == LinkFault::Reset {
            set_reset_on_close(&client);
            continue;
        }
        tokio::spawn(proxy_connection(client, target, faults.clone()));
    }
}

/// Forwards one connection until it ends; errors close it, which both sides observe.
async fn proxy_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFault>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return set_reset_on_close(&client);
    };
    let (requests, answers) = (faults.clone(), faults.clone());
    let is_reset = {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let forwarding = async {
            tokio::try_join!(
                forward(&mut from_client, &mut to_server, requests, false),
                forward(&mut from_server, &mut to_client, answers, true),
            )
        };
        tokio::select! {
            _ = forwarding => false,
            reset = faults.wait_for(|fault| *fault == LinkFault::Reset) => reset.is_ok(),
        }
    };
    if is_reset {
        set_reset_on_close(&client);
        set_reset_on_close(&server);
    }
}

async fn forward(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut faults: watch::Receiver<LinkFault>,
    is_answers: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; LinkProxy::BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_while_blocked(&mut faults, is_answers).await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Holds bytes back until the fault ends, as TCP does on a broken link.
async fn wait_while_blocked(faults: &mut watch::Receiver<LinkFault>, is_answers: bool) {
    let passes = |fault: &LinkFault| match fault {
        LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset => true,
        LinkFault::CutAnswers => !is_answers,
        LinkFault::Silence => false,
    };
    let delay = match faults.wait_for(passes).await.as_deref() {
        Ok(LinkFault::Delay(delay)) => *delay,
        _ => Duration::ZERO,
    };
    tokio::time::sleep(delay).await;
}

/// Makes the following close a TCP reset.
fn set_reset_on_close(stream: &TcpStream) {
    // If this fails, the peer sees an ordinary close, which is a fault as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
