/** Interface between a serving node and the platform that it runs on. */
import {type EdgeDialect} from '@mimosatack/caller-edge';
import {type KeyedTopic} from '@mimosatack/keyed-store';
import {type EngineOrders} from '@mimosatack/schedule-service';
import {type BackendDialect} from '@mimosatack/serve-requests';
import {
  type BackendServerEntry,
  type ServingConfiguration,
} from '@mimosatack/types';
import {type EntryList, type EntryQuery} from './entry_list.js';

/** Names, formats and clients of one platform. */
export interface PlatformAdapter {
  callerDialect: EdgeDialect;
  backendDialect: BackendDialect;
  configurationTopic: KeyedTopic;
  /** Key of the record with the newest configuration. */
  configurationKey: string;
  serversTopic: KeyedTopic;
  /** The system's own topics: its nodes, and the holder of each duty. */
  nodesTopic: KeyedTopic;
  dutyTopic: KeyedTopic;
  engineOrders: EngineOrders;
  /** Throws `record-invalid`. */
  decodeConfiguration(value: Uint8Array): ServingConfiguration;
  /** Throws `record-invalid`. */
  decodeServer(id: string, value: Uint8Array): BackendServerEntry;
  readyPath: string;
  entriesPath: string;
  /** Reads the part of a request's path after `?`. */
  readEntriesQuery(query: string): EntryQuery;
  formatEntries(entries: EntryList): string;
}
