/** The permissions of each role. */
import {type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';

export interface Permission {
  /** The text in docs/operators/roles.md and in error messages. */
  description: string;
  roles: readonly TokenRole[];
}

/**
 * Callers and operators act for their own team only, admins for all teams.
 * Operators can't publish documents that contain tokens, which guards against
 * privilege escalation.
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

/** An action that requires a permission. */
export type Action = keyof typeof PERMISSIONS;

export function hasPermission(role: TokenRole, action: Action): boolean {
  const {roles}: Permission = PERMISSIONS[action];
  return roles.includes(role);
}

/** Throws `forbidden` unless the role permits the action. */
export function requireAction(role: TokenRole, action: Action): void {
  if (hasPermission(role, action)) return;
  const {description, roles}: Permission = PERMISSIONS[action];
  throw new TypedError(
    'forbidden',
    `A token with role ${role} may not ${description}.`,
    {remedy: `Use a token with role ${roles.join(' or ')}.`},
  );
}

/** Formats the list that docs/operators/roles.md contains. */
export function formatPermissionsAsMarkdown(): string {
  return Object.values(PERMISSIONS)
    .map(({description, roles}) => `- ${description}: ${roles.join(', ')}`)
    .join('\n');
}
