export {
  type RoleInput,
  type StewardRole,
  decideRole,
  isClaimable,
} from './decide_role.js';
