import {HttpWeightStore, type WeightStoreLimits} from '@mimosatack/platform';
import {type DaemonSettings} from '@mimosatack/settings';

/**
 * Makes a function that reads the limits of the weight store and passes them
 * on.
 */
export function makeLimitsReader(
  settings: DaemonSettings,
  timeoutMs: number,
  onLimits: (limits: WeightStoreLimits) => void,
): () => Promise<void> {
  const store = new HttpWeightStore({
    baseUrl: settings.weightStoreUrl,
    nodeId: settings.nodeName,
    timeoutMs,
  });
  return async () => onLimits(await store.readLimits());
}
