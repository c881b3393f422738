export {asAbortError} from './abort_error.js';
export {type AnswerLimits, DEFAULT_ANSWER_LIMITS} from './answer_limits.js';
export {
  type AnswerReaderOptions,
  type OpenStream,
  type RepairCause,
  readAnswer,
} from './answer_reader.js';
export {
  DeliveredText,
  DivergedError,
  continueElsewhere,
} from './continue_elsewhere.js';
export {type SamplingFields, isDeterministic} from './deterministic.js';
export {EventSequencer, type SequencerOptions} from './event_sequencer.js';
export {type RequestToken, RequestTokenMint} from './request_token.js';
export {
  END_OF_ANSWER,
  type StreamEvent,
  formatErrorEvent,
  formatEvent,
  isEndOfAnswer,
} from './stream_event.js';
export {type WholeAnswerOptions, readWholeAnswer} from './whole_answer.js';
