/** What a node needs of the platform that it runs on. */
import {type EdgeDialect} from '@mimosatack/caller-edge';
import {type KeyedTopic} from '@mimosatack/keyed-store';
import {type EngineOrders} from '@mimosatack/schedule-service';
import {type BackendDialect} from '@mimosatack/serve-requests';
import {
  type BackendServerEntry,
  type ServingConfiguration,
} from '@mimosatack/types';
import {type EntryList} from './entry_list.js';

/** Names, formats and calls of one platform. */
export interface PlatformAdapter {
  callerDialect: EdgeDialect;
  backendDialect: BackendDialect;
  configurationTopic: KeyedTopic;
  /** The key under which the newest configuration lies. */
  configurationKey: string;
  serversTopic: KeyedTopic;
  /** Topics of the system's own: who its nodes are, and who schedules. */
  nodesTopic: KeyedTopic;
  dutyTopic: KeyedTopic;
  engineOrders: EngineOrders;
  /** Throws `record-invalid`. */
  decodeConfiguration(value: Uint8Array): ServingConfiguration;
  /** Throws `record-invalid`. */
  decodeServer(id: string, value: Uint8Array): BackendServerEntry;
  readyPath: string;
  entriesPath: string;
  formatEntries(entries: EntryList): string;
}
