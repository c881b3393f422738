/** Bearer tokens of operators; only their hashes are known. */
import {createHash} from 'node:crypto';
import {TypedError} from '@mimosatack/errors';
import {type OperatorContext} from './operator_context.js';

/** Who asks, and for which team; null is every team. */
export interface Operator {
  operatorName: string;
  team: string | null;
}

const BEARER = /^Bearer (.+)$/i;

/** Finds the operator of a bearer token, or rejects the request. */
export function authenticateOperator(
  authorization: string | undefined,
  context: OperatorContext,
): Operator {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (!token) throw new TypedError('unauthorized', 'No bearer token was sent.');
  const tokenHash = createHash('sha256').update(token).digest('hex');
  if (tokenHash === context.bootstrapTokenHash) {
    return {operatorName: 'bootstrap', team: null};
  }
  const known = context
    .state()
    .configuration.list('team')
    .flatMap(team =>
      team.content.tokens.map(other => ({...other, team: team.id})),
    )
    .find(other => other.tokenHash === tokenHash);
  if (!known) throw new TypedError('unauthorized', 'The token is not known.');
  if (known.role === 'caller') {
    throw new TypedError('forbidden', 'A caller token opens no admin page.');
  }
  return {
    operatorName: `${known.team}/${known.name}`,
    team: known.role === 'admin' ? null : known.team,
  };
}
