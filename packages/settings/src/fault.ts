/** What can be wrong with the settings. */

/** The kinds of fault. */
export type FaultProblem =
  | 'unknown'
  | 'repeated'
  | 'missing'
  | 'invalid'
  | 'out-of-range'
  | 'contradictory';

/** One thing that is wrong, and what to do about it. */
export interface SettingFault {
  problem: FaultProblem;
  /** The flag or variable at fault; several for a contradiction. */
  settings: readonly string[];
  message: string;
  remedy: string;
}
