export {type EntryHost, hasUnevenHosts} from './entry_host.js';
export {type EntryHostsQuery, selectEntryHosts} from './select_entry_hosts.js';
