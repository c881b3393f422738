/** Parses server-sent events from the bytes of one connection. */
import {TypedError} from '@mimosatack/errors';
import {type EventSourceMessage, createParser} from 'eventsource-parser';
import {type StreamEvent} from './stream_event.js';

const EVENT_ID_PATTERN = /^\d{1,15}$/;

/** A parser for one connection, with a bounded buffer. */
export class EventParser {
  private readonly decoder = new TextDecoder();
  private readonly parser;
  private events: StreamEvent[] = [];
  private isTooLarge = false;

  constructor(private readonly maxEventChars: number) {
    this.parser = createParser({
      maxBufferSize: maxEventChars,
      onEvent: message => this.acceptMessage(message),
      onError: error => {
        this.isTooLarge ||= error.type === 'max-buffer-size-exceeded';
      },
    });
  }

  /** Returns the events that these bytes complete, in order of arrival. */
  push(bytes: Uint8Array): StreamEvent[] {
    this.parser.feed(this.decoder.decode(bytes, {stream: true}));
    if (this.isTooLarge) {
      throw new TypedError(
        'answer-too-large',
        `One event of the answer has more than ${this.maxEventChars} characters.`,
        {run: 'unknown'},
      );
    }
    const {events} = this;
    this.events = [];
    return events;
  }

  /** Drops an event without a numeric id, because its order is unknown. */
  private acceptMessage({id, data}: EventSourceMessage): void {
    if (data.length > this.maxEventChars) this.isTooLarge = true;
    if (id === undefined || !EVENT_ID_PATTERN.test(id)) return;
    this.events.push({id: Number(id), data});
  }
}
