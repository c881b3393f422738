/** Reports how memory that callers hold is bounded, as events and metrics. */
import {findMemoryLimitBytes} from '@mimosatack/bound-memory';
import {
  type MemoryObserver,
  MemoryWatch,
  readSendQueues,
} from '@mimosatack/caller-edge';
import {type ServingNodeOptions} from './serving_node_options.js';

export function makeMemoryWatch({
  clock,
  logger,
  metrics,
  settings,
}: Pick<
  ServingNodeOptions,
  'clock' | 'logger' | 'metrics' | 'settings'
>): MemoryWatch {
  const limitBytes = findMemoryLimitBytes(settings.memoryMb);
  const observer: MemoryObserver = {
    onPressure: isUnderPressure =>
      logger.log(
        isUnderPressure ? 'memory-pressure-began' : 'memory-pressure-ended',
        {heldBytes: watch.budget.usedBytes, limitBytes},
      ),
    onCutOff: (requestId, heldBytes, unreadMs) => {
      metrics.count('memory.cut_off', {});
      logger.log('slow-caller-cut-off', {
        ...{requestId, heldBytes, unreadMs, limitBytes},
        totalHeldBytes: watch.budget.usedBytes,
      });
    },
    onRefused: () => metrics.count('memory.refused', {}),
  };
  const watch = new MemoryWatch({
    ...{clock, limitBytes, observer},
    readSendQueues: () => readSendQueues(settings.callerAddress.port),
  });
  return watch;
}
