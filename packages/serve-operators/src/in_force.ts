/** Determines on which nodes a change is in force. */
import {sleep} from '@mimosatack/clock';
import {type FoldedRecord} from '@mimosatack/agreed-state';
import {type LogOffset} from '@mimosatack/types';
import {type NodeView, type OperatorContext} from './operator_context.js';

/** Whether one node has folded a change. */
export interface NodeInForce {
  nodeName: string;
  status: string;
  failureDomain: string;
  nextOffset: LogOffset | null;
  isInForce: boolean;
}

/** The nodes on which a change is in force. */
export interface InForceView {
  offset: LogOffset;
  isInForceEverywhere: boolean;
  /** Live nodes not known to have folded the change. */
  missingNodes: string[];
  nodes: NodeInForce[];
}

interface SequenceOffset {
  sequence: number;
  offset: LogOffset;
}

const MAX_RECENT_SEQUENCES = 5_000;
const MAX_CONCURRENT_QUERIES = 16;
const POLL_INTERVAL_MS = 100;
const LIVE_STATUSES = ['alive', 'suspect'];

/** Maps the sequence numbers of recent records to log offsets. */
export class SequenceOffsets {
  private readonly recent: SequenceOffset[] = [];

  record(folded: readonly FoldedRecord[]): void {
    const last = folded.at(-1);
    if (!last) return;
    this.recent.push({sequence: last.sequence, offset: last.offset});
    if (this.recent.length > MAX_RECENT_SEQUENCES) this.recent.shift();
  }

  /**
   * The offset of a folded record. For records older than the retained range,
   * returns the oldest retained offset, an upper bound.
   */
  find(sequence: number): LogOffset | null {
    return (
      this.recent.find(entry => entry.sequence >= sequence)?.offset ?? null
    );
  }
}

/** Polls until all live nodes have folded `offset` or `waitMs` has passed. */
export async function waitUntilInForce(
  offset: LogOffset,
  waitMs: number,
  context: OperatorContext,
): Promise<InForceView> {
  const endMs = context.clock.monotonicMs() + waitMs;
  let view = await readInForce(offset, context);
  while (!view.isInForceEverywhere && context.clock.monotonicMs() < endMs) {
    await sleep(context.clock, POLL_INTERVAL_MS);
    view = await readInForce(offset, context);
  }
  if (waitMs > 0 && !view.isInForceEverywhere) {
    context.logger.log('change-not-in-force', {
      offset,
      missingNodes: view.missingNodes,
      waitedMs: waitMs,
    });
  }
  return view;
}

async function readInForce(
  offset: LogOffset,
  context: OperatorContext,
): Promise<InForceView> {
  const nodes = context.listNodes().filter(isLive);
  const lagging = nodes.filter(node => !hasFolded(node.nextOffset, offset));
  const nextOffsets = await fetchNextOffsets(lagging, context);
  const views = nodes.map(node => {
    const nextOffset = nextOffsets.get(node.nodeName) ?? node.nextOffset;
    return {
      nodeName: node.nodeName,
      status: node.status,
      failureDomain: node.failureDomain,
      nextOffset,
      isInForce: hasFolded(nextOffset, offset),
    };
  });
  const missingNodes = views
    .filter(view => !view.isInForce)
    .map(view => view.nodeName);
  return {
    offset,
    isInForceEverywhere: missingNodes.length === 0,
    missingNodes,
    nodes: views,
  };
}

/** Queries lagging nodes directly, because reported offsets may be outdated. */
async function fetchNextOffsets(
  nodes: readonly NodeView[],
  context: OperatorContext,
): Promise<Map<string, LogOffset>> {
  const nextOffsets = new Map<string, LogOffset>();
  for (let from = 0; from < nodes.length; from += MAX_CONCURRENT_QUERIES) {
    await Promise.all(
      nodes
        .slice(from, from + MAX_CONCURRENT_QUERIES)
        .map(async ({nodeName}) => {
          const nextOffset =
            nodeName === context.nodeName
              ? context.state().nextOffset
              : await context.fetchNextOffset(nodeName);
          if (nextOffset !== null) nextOffsets.set(nodeName, nextOffset);
        }),
    );
  }
  return nextOffsets;
}

function isLive(node: NodeView): boolean {
  return LIVE_STATUSES.includes(node.status);
}

function hasFolded(nextOffset: LogOffset | null, offset: LogOffset): boolean {
  return nextOffset !== null && nextOffset > offset;
}
