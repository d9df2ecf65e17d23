package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:33\ndata: c\n\n";

	private static List<StreamEvent> split(EventSplitter splitter, String text) {
		return splitter.split(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	@Test
	void eventsAreCompleteForAnySplitOfTheBytes() {
		for (int cut = 0; cut <= STREAM.length(); cut++) {
			for (int next = cut; next <= STREAM.length(); next += 3) {
				EventSplitter splitter = new EventSplitter(1000);
				List<StreamEvent> events = new ArrayList<>(split(splitter, STREAM.substring(0, cut)));
				events.addAll(split(splitter, STREAM.substring(cut, next)));
				events.addAll(split(splitter, STREAM.substring(next)));
				assertThat(events).extracting((event) -> event.id().orElse("none"))
					.containsExactly("1", "2", "none", "33");
				StringBuilder joined = new StringBuilder();
				events.forEach((event) -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
				assertThat(joined.toString()).isEqualTo(STREAM);
				assertThat(splitter.hasPartialEvent()).isFalse();
			}
		}
	}

	@Test
	void partialEventIsBuffered() {
		EventSplitter splitter = new EventSplitter(1000);
		assertThat(split(splitter, "id: 1\ndata: a\n")).isEmpty();
		assertThat(splitter.hasPartialEvent()).isTrue();
	}

	@Test
	void eventLargerThanTheLimitIsRejected() {
		EventSplitter splitter = new EventSplitter(100);
		assertThatIllegalStateException().isThrownBy(() -> split(splitter, "x".repeat(101)));
	}

}
