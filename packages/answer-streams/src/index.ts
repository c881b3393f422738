export {toAbortError} from './abort_error.js';
export {type AnswerLimits, DEFAULT_ANSWER_LIMITS} from './answer_limits.js';
export {
  type AnswerReaderOptions,
  type OpenStream,
  type ResumeCause,
  readAnswer,
} from './answer_reader.js';
export {
  DeliveredText,
  DivergedError,
  continueOnAnotherReplica,
} from './continue_elsewhere.js';
export {type SamplingFields, isDeterministic} from './deterministic.js';
export {EventSequencer, type SequencerOptions} from './event_sequencer.js';
export {type RequestToken, RequestTokenSigner} from './request_token.js';
export {
  END_OF_ANSWER,
  type StreamEvent,
  formatErrorEvent,
  formatEvent,
  isEndEvent,
} from './stream_event.js';
export {type WholeAnswerOptions, readWholeAnswer} from './whole_answer.js';
