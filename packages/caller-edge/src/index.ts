export {CallerEdge, type CallerEdgeOptions} from './caller_edge.js';
export {
  type MemoryObserver,
  type MemoryWatchOptions,
  MemoryWatch,
} from './memory_watch.js';
export {type EdgeDialect, type RefusalForm} from './edge_dialect.js';
export {readSendQueues} from './send_queues.js';
