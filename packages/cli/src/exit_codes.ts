/** The exit codes of the tool; docs/operators/cli.md lists them. */
import {type ErrorKind, type TypedError} from '@mimosatack/errors';

/** Every exit code, by what it means. */
export const EXIT_CODES = {
  ok: 0,
  /** The node refused the command, or it failed. */
  refused: 1,
  /** The command line, or a file it names, is not right. */
  usage: 2,
  /** The wait ended before the change was in force or the event warm. */
  timedOut: 3,
  /** No node could be reached. */
  unreachable: 4,
  /** Another change was first. */
  conflict: 5,
} as const;

/** Which exit code a failed command ends with. */
export function toExitCode(error: TypedError): number {
  const special: Partial<Record<ErrorKind, number>> = {
    'node-unreachable': EXIT_CODES.unreachable,
    'deadline-exceeded': EXIT_CODES.timedOut,
    conflict: EXIT_CODES.conflict,
  };
  return special[error.kind] ?? EXIT_CODES.refused;
}
