/** Validation faults of settings. */

export type FaultProblem =
  | 'unknown'
  | 'repeated'
  | 'missing'
  | 'invalid'
  | 'out-of-range'
  | 'contradictory';

export interface SettingFault {
  problem: FaultProblem;
  /** The affected flags or variables; several if contradictory. */
  settings: readonly string[];
  message: string;
  remedy: string;
}
