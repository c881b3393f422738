export {type EntryList} from './entry_list.js';
export {type NodeSettings} from './node_settings.js';
export {type PlatformAdapter} from './platform_adapter.js';
export {ServingNode, type ServingNodeOptions} from './serving_node.js';
