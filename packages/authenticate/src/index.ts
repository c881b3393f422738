export {
  type Caller,
  type Operator,
  authenticateCaller,
  authenticateOperator,
} from './authenticate.js';
export {
  type Action,
  PERMISSIONS,
  type Permission,
  formatPermissionsAsMarkdown,
  hasPermission,
  requireAction,
} from './permissions.js';
export {hashToken} from './key_index.js';
export {TeamKeys, authenticateKey} from './team_keys.js';
