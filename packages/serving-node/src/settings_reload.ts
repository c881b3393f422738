/** Takes new settings into a node that runs. */
import {type NodeSettings} from './node_settings.js';

/** What came of new settings, by the names of the settings. */
export interface ReloadOutcome {
  /** In force now. */
  changed: readonly string[];
  /** Different, and only taken at the next start. */
  atNextStart: readonly string[];
}

/** Settings that are looked up each time that they are needed. */
const LIVE: ReadonlyArray<keyof NodeSettings> = [
  'retryBound',
  'revokeMs',
  'quotaBounds',
  'maxEntriesTtlMs',
  'seeds',
];

/**
 * Puts what can change while the node runs in force. Addresses, the lease and
 * the node's name are part of what other nodes were told, so they wait for the
 * next start.
 *
 * @param current is changed in place, since every task looks things up there.
 */
export function reloadSettings(
  current: NodeSettings,
  next: NodeSettings,
): ReloadOutcome {
  const names = Object.keys(next) as Array<keyof NodeSettings>;
  const different = names.filter(
    name => JSON.stringify(current[name]) !== JSON.stringify(next[name]),
  );
  const changed = different.filter(name => LIVE.includes(name));
  changed.forEach(name => Object.assign(current, {[name]: next[name]}));
  return {
    changed,
    atNextStart: different.filter(name => !LIVE.includes(name)),
  };
}
