import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that keeps its channel for further requests. */
final class Caller implements AutoCloseable {

	private final String ip;

	private Socket socket;

	private InputStream in;

	/** Number of requests sent on the channel. */
	private int sent;

	Caller(String ip) {
		this.ip = ip;
	}

	int sentOnChannel() {
		return this.sent;
	}

	/**
	 * Sends a request and waits for its answer.
	 * @return the answer, not {@code whole} if it ends early; null if there is none
	 */
	Wire.Message call(String head, byte[] body, int timeoutMillis) {
		Wire.Message answer = null;
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.setTcpNoDelay(true);
				this.socket.connect(new InetSocketAddress(this.ip, Fleet.FRONT_PORT), 1000);
				this.in = new BufferedInputStream(this.socket.getInputStream());
				this.sent = 0;
			}
			this.socket.setSoTimeout(timeoutMillis);
			this.sent++;
			byte[] start = Wire.bytes(head + ((body.length > 0) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n");
			byte[] all = new byte[start.length + body.length];
			System.arraycopy(start, 0, all, 0, start.length);
			System.arraycopy(body, 0, all, start.length, body.length);
			this.socket.getOutputStream().write(all);
			answer = Wire.readHead(this.in);
			if (answer == null) {
				close();
				return null;
			}
			Wire.readBody(this.in, answer, true);
			if ("close".equalsIgnoreCase(answer.header("Connection")) || !answer.whole) {
				close();
			}
		}
		catch (IOException ex) {
			close();
		}
		return answer;
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed.
		}
		this.socket = null;
	}

}
