export {
  type Member,
  type MemberInfo,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
} from './member.js';
export {Membership, type MembershipHint} from './membership.js';
export {
  type MembershipMessage,
  type OutgoingMessage,
  membershipMessageSchema,
} from './messages.js';
export {DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions} from './options.js';
export {hashSortKey} from './hashing.js';
export {rankMembers} from './rank_members.js';
