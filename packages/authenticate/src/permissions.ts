/** What each role may do, in one table. */
import {type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';

/** One row of the table. */
export interface Permission {
  /** What the action is, for the operators' page. */
  description: string;
  roles: readonly TokenRole[];
}

/**
 * Every action and the roles that may do it. A caller and an operator act for
 * their own team only; an admin acts for all teams. An operator publishes
 * nothing that holds a token, so no role can be raised by publishing.
 */
export const PERMISSIONS = {
  'send-requests': {
    description: 'send requests to models and services',
    roles: ['caller', 'operator', 'admin'],
  },
  'read-documents': {
    description:
      "read the own team's documents, and the models and services of all",
    roles: ['operator', 'admin'],
  },
  'read-status': {
    description: 'read the status, nodes, backend servers and replicas',
    roles: ['operator', 'admin'],
  },
  'read-audit': {
    description: 'read the audit trail of what may be read',
    roles: ['operator', 'admin'],
  },
  'publish-events': {
    description: "publish and delete the own team's templates and events",
    roles: ['operator', 'admin'],
  },
  'publish-shared': {
    description: 'publish and delete models and services',
    roles: ['admin'],
  },
  'publish-teams': {
    description: 'publish and delete teams with their tokens',
    roles: ['admin'],
  },
  'act-for-all-teams': {
    description: 'read and publish the documents of every team',
    roles: ['admin'],
  },
  'drain-backend-servers': {
    description: 'keep new work away from a backend server',
    roles: ['admin'],
  },
} as const satisfies Record<string, Permission>;

/** Something that a token may or may not be used for. */
export type Action = keyof typeof PERMISSIONS;

/** Whether a role may do something. */
export function mayDo(role: TokenRole, action: Action): boolean {
  const {roles}: Permission = PERMISSIONS[action];
  return roles.includes(role);
}

/** Rejects with `forbidden` what the role may not do. */
export function requireAction(role: TokenRole, action: Action): void {
  if (mayDo(role, action)) return;
  const {description, roles}: Permission = PERMISSIONS[action];
  throw new TypedError(
    'forbidden',
    `A token with role ${role} may not ${description}.`,
    {remedy: `Use a token with role ${roles.join(' or ')}.`},
  );
}

/** The table as it stands in docs/operators/roles.md. */
export function formatPermissionsAsMarkdown(): string {
  return Object.values(PERMISSIONS)
    .map(({description, roles}) => `- ${description}: ${roles.join(', ')}`)
    .join('\n');
}
