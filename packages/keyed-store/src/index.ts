export {
  type AppendCondition,
  type AppendOutcome,
  type KeyedChange,
  type KeyedRecord,
  type KeyedSnapshot,
  type KeyedTopic,
  type KeyedWrite,
  type ReadOutcome,
  type ReadTerms,
} from './keyed_topic.js';
export {
  KeyedFollower,
  type KeyedFollowerOptions,
  type ReadKind,
  type ReadRecovery,
} from './keyed_follower.js';
export {type DelayEnd, InterruptibleDelay} from './interruptible_delay.js';
export {KeyedTable} from './keyed_table.js';
export {type AppendFault, MemoryKeyedTopic} from './memory_keyed_topic.js';
export {StoreContact} from './store_contact.js';
export {StoreEra, findEra, toGlobalOffset, toStoreOffset} from './store_era.js';
