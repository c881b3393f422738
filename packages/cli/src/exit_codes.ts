/** The exit codes of the tool; docs/operators/cli.md lists them. */
import {type ErrorKind, type TypedError} from '@mimosatack/errors';

export const EXIT_CODES = {
  ok: 0,
  /** The node refused the command, or the command failed. */
  refused: 1,
  /** The command line, or a file it names, is invalid. */
  usage: 2,
  /** Timed out before the change was in force or the event warm. */
  timedOut: 3,
  /** No node could be reached. */
  unreachable: 4,
  /** The expected version was outdated by another change. */
  conflict: 5,
} as const;

export function toExitCode(error: TypedError): number {
  const special: Partial<Record<ErrorKind, number>> = {
    'node-unreachable': EXIT_CODES.unreachable,
    'deadline-exceeded': EXIT_CODES.timedOut,
    conflict: EXIT_CODES.conflict,
  };
  return special[error.kind] ?? EXIT_CODES.refused;
}
