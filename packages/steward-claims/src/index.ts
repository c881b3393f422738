export {
  type RoleInput,
  type StewardRole,
  decideRole,
  isFree,
} from './decide_role.js';
