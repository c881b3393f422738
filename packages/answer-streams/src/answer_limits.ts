/** Limits for reading a response from an engine. */

export interface AnswerLimits {
  /** Maximum size of all event data of a response, in bytes. */
  maxAnswerBytes: number;
  /** Maximum size of one event, in characters. */
  maxEventChars: number;
  /** Maximum number of buffered out-of-order events. */
  maxWaitingEvents: number;
  /** Maximum size of the buffered out-of-order events, in characters. */
  maxWaitingChars: number;
  /** Time without new bytes after which a gap causes a resume. */
  gapTimeoutMs: number;
  /** Maximum number of consecutive resumes without progress. */
  maxResumesWithoutProgress: number;
  /** Maximum number of resumes of one response. */
  maxResumes: number;
  /** Minimum delay before a resume after one without progress. */
  resumeDelayMs: number;
}

export const DEFAULT_ANSWER_LIMITS: AnswerLimits = {
  maxAnswerBytes: 16 * 1024 * 1024,
  maxEventChars: 256 * 1024,
  maxWaitingEvents: 32,
  maxWaitingChars: 256 * 1024,
  gapTimeoutMs: 100,
  maxResumesWithoutProgress: 3,
  maxResumes: 32,
  resumeDelayMs: 100,
};
