export {type EntryList, type EntryQuery} from './entry_list.js';
export {type NodeSettings} from './node_settings.js';
export {type PlatformAdapter} from './platform_adapter.js';
export {ServingNode} from './serving_node.js';
export {type ServingNodeOptions} from './serving_node_options.js';
