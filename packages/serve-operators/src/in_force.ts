/** On which nodes a change is in force. */
import {sleep} from '@mimosatack/clock';
import {type FoldedRecord} from '@mimosatack/agreed-state';
import {type LogOffset} from '@mimosatack/types';
import {type NodeView, type OperatorContext} from './operator_context.js';

/** One node with whether it has folded a change. */
export interface NodeInForce {
  nodeName: string;
  status: string;
  failureDomain: string;
  nextOffset: LogOffset | null;
  isInForce: boolean;
}

/** On which nodes a change is in force. */
export interface InForceView {
  offset: LogOffset;
  isInForceEverywhere: boolean;
  /** Live nodes that have not folded the change, or did not say so. */
  missingNodes: string[];
  nodes: NodeInForce[];
}

interface SequenceAt {
  sequence: number;
  offset: LogOffset;
}

const KEPT_SEQUENCES = 5_000;
const ASK_AT_ONCE = 16;
const ASK_INTERVAL_MS = 100;
const LIVE_STATUSES = ['alive', 'suspect'];

/** Remembers at which offset recent records stand. */
export class SequenceOffsets {
  private readonly recent: SequenceAt[] = [];

  note(folded: readonly FoldedRecord[]): void {
    const last = folded.at(-1);
    if (!last) return;
    this.recent.push({sequence: last.sequence, offset: last.offset});
    if (this.recent.length > KEPT_SEQUENCES) this.recent.shift();
  }

  /**
   * The offset of a record that was folded. For one older than what is
   * remembered it is the oldest offset known, which is not before it.
   */
  find(sequence: number): LogOffset | null {
    return this.recent.find(at => at.sequence >= sequence)?.offset ?? null;
  }
}

/** Asks who has folded an offset, and again until all have or time is up. */
export async function waitInForce(
  offset: LogOffset,
  waitMs: number,
  context: OperatorContext,
): Promise<InForceView> {
  const endMs = context.clock.monotonicMs() + waitMs;
  let view = await readInForce(offset, context);
  while (!view.isInForceEverywhere && context.clock.monotonicMs() < endMs) {
    await sleep(context.clock, ASK_INTERVAL_MS);
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
  const behind = nodes.filter(node => !hasFolded(node.nextOffset, offset));
  const answers = await askAll(behind, context);
  const views = nodes.map(node => {
    const nextOffset = answers.get(node.nodeName) ?? node.nextOffset;
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

/** What nodes last said is late, so those that seem behind are asked. */
async function askAll(
  nodes: readonly NodeView[],
  context: OperatorContext,
): Promise<Map<string, LogOffset>> {
  const answers = new Map<string, LogOffset>();
  for (let from = 0; from < nodes.length; from += ASK_AT_ONCE) {
    await Promise.all(
      nodes.slice(from, from + ASK_AT_ONCE).map(async ({nodeName}) => {
        const nextOffset =
          nodeName === context.nodeName
            ? context.state().nextOffset
            : await context.askNextOffset(nodeName);
        if (nextOffset !== null) answers.set(nodeName, nextOffset);
      }),
    );
  }
  return answers;
}

function isLive(node: NodeView): boolean {
  return LIVE_STATUSES.includes(node.status);
}

function hasFolded(nextOffset: LogOffset | null, offset: LogOffset): boolean {
  return nextOffset !== null && nextOffset > offset;
}
