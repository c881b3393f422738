/** Reads server-sent events out of the bytes of one connection. */
import {TypedError} from '@mimosatack/errors';
import {type EventSourceMessage, createParser} from 'eventsource-parser';
import {type StreamEvent} from './stream_event.js';

const ID_FORM = /^\d{1,15}$/;

/** The parser of one connection; its buffer is bounded. */
export class EventParser {
  private readonly decoder = new TextDecoder();
  private readonly parser;
  private events: StreamEvent[] = [];
  private isTooLarge = false;

  constructor(private readonly maxEventChars: number) {
    this.parser = createParser({
      maxBufferSize: maxEventChars,
      onEvent: message => this.take(message),
      onError: error => {
        this.isTooLarge ||= error.type === 'max-buffer-size-exceeded';
      },
    });
  }

  /** The events that are complete with these bytes, as they arrived. */
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

  /** An event without a number cannot be placed and counts as lost. */
  private take({id, data}: EventSourceMessage): void {
    if (data.length > this.maxEventChars) this.isTooLarge = true;
    if (id === undefined || !ID_FORM.test(id)) return;
    this.events.push({id: Number(id), data});
  }
}
