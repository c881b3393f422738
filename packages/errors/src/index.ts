export {
  ERROR_KINDS,
  type ErrorKind,
  type ErrorKindInfo,
  type RunOutcome,
  findErrorKindInfo,
} from './kinds.js';
export {formatKindsAsMarkdown} from './kinds_markdown.js';
export {
  type ErrorBody,
  type ErrorDetails,
  TypedError,
  formatErrorBody,
  toTypedError,
} from './typed_error.js';
