export {
  type Explanation,
  type Verdict,
  explainRequest,
} from './explain_request.js';
export {formatExplanation} from './format_explanation.js';
export {type LogLine, type ParsedLog, parseLog} from './parse_log.js';
