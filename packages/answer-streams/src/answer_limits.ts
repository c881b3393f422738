/** How much of an answer is kept and waited for. */

/** Limits of reading one answer. */
export interface AnswerLimits {
  /** Largest answer, in bytes of its chunks. */
  maxAnswerBytes: number;
  /** Largest single event, in characters. */
  maxEventChars: number;
  /** How many events may wait for an earlier one. */
  maxWaitingEvents: number;
  /** How many characters may wait for an earlier event. */
  maxWaitingChars: number;
  /** How long a gap may stay before it is filled by a resume. */
  gapWaitMs: number;
  /** Resumes in a row that may bring nothing new. */
  maxIdleResumes: number;
  /** Resumes of one answer in all. */
  maxResumes: number;
  /** Pause before a resume that follows one without anything new. */
  resumeDelayMs: number;
}

/** Limits used where none are given. */
export const DEFAULT_ANSWER_LIMITS: AnswerLimits = {
  maxAnswerBytes: 16 * 1024 * 1024,
  maxEventChars: 256 * 1024,
  maxWaitingEvents: 32,
  maxWaitingChars: 256 * 1024,
  gapWaitMs: 100,
  maxIdleResumes: 3,
  maxResumes: 32,
  resumeDelayMs: 100,
};
