package io.mulberrylift.daemon.outbound;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.Lock;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * An I/O session that reads only while read interest is set, which enforces the response
 * window.
 *
 * <p>
 * The client clears read interest when a response's window is exhausted, but keeps
 * reading within one input event as long as the server writes faster than the client
 * reads. This session enforces the window in that case too. As safe for use by several
 * threads as its delegate.
 * </p>
 */
final class WindowedSession implements IOSession {

	private final IOSession delegate;

	WindowedSession(IOSession delegate) {
		this.delegate = delegate;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		if ((this.delegate.getEventMask() & SelectionKey.OP_READ) == 0) {
			return 0;
		}
		return this.delegate.read(target);
	}

	@Override
	public int write(ByteBuffer source) throws IOException {
		return this.delegate.write(source);
	}

	@Override
	public boolean isOpen() {
		return this.delegate.isOpen();
	}

	@Override
	public IOEventHandler getHandler() {
		return this.delegate.getHandler();
	}

	@Override
	public void upgrade(IOEventHandler handler) {
		this.delegate.upgrade(handler);
	}

	@Override
	public Lock getLock() {
		return this.delegate.getLock();
	}

	@Override
	public void enqueue(Command command, Command.Priority priority) {
		this.delegate.enqueue(command, priority);
	}

	@Override
	public boolean hasCommands() {
		return this.delegate.hasCommands();
	}

	@Override
	public Command poll() {
		return this.delegate.poll();
	}

	@Override
	public ByteChannel channel() {
		return this.delegate.channel();
	}

	@Override
	public SocketAddress getRemoteAddress() {
		return this.delegate.getRemoteAddress();
	}

	@Override
	public SocketAddress getLocalAddress() {
		return this.delegate.getLocalAddress();
	}

	@Override
	public int getEventMask() {
		return this.delegate.getEventMask();
	}

	@Override
	public void setEventMask(int operations) {
		this.delegate.setEventMask(operations);
	}

	@Override
	public void setEvent(int operation) {
		this.delegate.setEvent(operation);
	}

	@Override
	public void clearEvent(int operation) {
		this.delegate.clearEvent(operation);
	}

	@Override
	public void close() {
		this.delegate.close();
	}

	@Override
	public void close(CloseMode closeMode) {
		this.delegate.close(closeMode);
	}

	@Override
	public Status getStatus() {
		return this.delegate.getStatus();
	}

	@Override
	public Timeout getSocketTimeout() {
		return this.delegate.getSocketTimeout();
	}

	@Override
	public void setSocketTimeout(Timeout timeout) {
		this.delegate.setSocketTimeout(timeout);
	}

	@Override
	public long getLastReadTime() {
		return this.delegate.getLastReadTime();
	}

	@Override
	public long getLastWriteTime() {
		return this.delegate.getLastWriteTime();
	}

	@Override
	public long getLastEventTime() {
		return this.delegate.getLastEventTime();
	}

	@Override
	public void updateReadTime() {
		this.delegate.updateReadTime();
	}

	@Override
	public void updateWriteTime() {
		this.delegate.updateWriteTime();
	}

	@Override
	public String getId() {
		return this.delegate.getId();
	}

	@Override
	public String toString() {
		return this.delegate.toString();
	}

}
