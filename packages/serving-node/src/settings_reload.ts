/** Applies new settings to a running node. */
import {type NodeSettings} from './node_settings.js';

/** Names of the settings that differ after a reload. */
export interface ReloadOutcome {
  /** Already in effect. */
  changed: readonly string[];
  /** Applied only at the next start. */
  atNextStart: readonly string[];
}

/** Settings that are read at each use. */
const RELOADABLE_SETTINGS: ReadonlyArray<keyof NodeSettings> = [
  'retryBound',
  'revokeMs',
  'configurationApplyMs',
  'quotaBounds',
  'maxEntriesTtlMs',
  'seeds',
];

/**
 * Applies the reloadable settings. Addresses, the lease and the node's name are
 * known to other nodes, so changing them needs a restart.
 *
 * @param current changed in place, because every task reads from it.
 */
export function reloadSettings(
  current: NodeSettings,
  next: NodeSettings,
): ReloadOutcome {
  const names = Object.keys(next) as Array<keyof NodeSettings>;
  const different = names.filter(
    name => JSON.stringify(current[name]) !== JSON.stringify(next[name]),
  );
  const changed = different.filter(name => RELOADABLE_SETTINGS.includes(name));
  changed.forEach(name => Object.assign(current, {[name]: next[name]}));
  return {
    changed,
    atNextStart: different.filter(name => !RELOADABLE_SETTINGS.includes(name)),
  };
}
