/** The faults that a run can meet. */
import {START_MS} from './deployment.js';

/** What happens to the deployment during one run. */
export interface Fault {
  faultName: FaultName;
  /** The weight store is this many times slower from then on. */
  slowStore?: {fromMs: number; factor: number};
  /** The log service answers nothing in this time. */
  logDown?: {fromMs: number; untilMs: number};
  /** This node dies; others notice and claim its runners after the wait. */
  nodeDies?: {atMs: number; takeoverMs: number};
  /** Whether successors look at engines whose loads are due. */
  hasWatch?: boolean;
  /** A runner's host vanishes. */
  runnerDies?: {atMs: number};
  /** A failure domain is cut off from all others for good. */
  domainCut?: {atMs: number; takeoverMs: number};
}

export const FAULT_NAMES = [
  'none',
  'store slow from 20 min before',
  'store slow from 2 min before',
  'store slow from just before',
  'log down',
  'steward killed',
  'steward killed, successors watch',
  'runner lost',
  'domain cut off',
  'domain cut off, successors watch',
] as const;
export type FaultName = (typeof FAULT_NAMES)[number];

const SLOW_FACTOR = 10;
const MINUTE_MS = 60_000;
/**
 * A dead node among eight counts as gone after 3 s (see membership); the claim
 * and the first order, which only raises the fencing number, come after it.
 */
const TAKEOVER_MS = 3_600;
/** How long before the start a process may die in the runs of one fault. */
const DEATH_LEADS_MS = [1_000, 2_000, 3_000, 5_000, 10_000, 20_000];

/** One or more runs for a fault: those of processes at several moments. */
export function listFaults(faultName: FaultName): Fault[] {
  const atEach = (make: (atMs: number) => Omit<Fault, 'faultName'>) =>
    DEATH_LEADS_MS.map(leadMs => ({faultName, ...make(START_MS - leadMs)}));
  const slowFrom = (fromMs: number) => [
    {faultName, slowStore: {fromMs, factor: SLOW_FACTOR}},
  ];
  switch (faultName) {
    case 'none':
      return [{faultName}];
    case 'store slow from 20 min before':
      return slowFrom(START_MS - 20 * MINUTE_MS);
    case 'store slow from 2 min before':
      return slowFrom(START_MS - 2 * MINUTE_MS);
    case 'store slow from just before':
      return slowFrom(START_MS - 5_000);
    case 'log down':
      return [
        {
          faultName,
          logDown: {
            fromMs: START_MS - 2 * MINUTE_MS,
            untilMs: START_MS + 2 * MINUTE_MS,
          },
        },
      ];
    case 'steward killed':
    case 'steward killed, successors watch':
      return atEach(atMs => ({
        nodeDies: {atMs, takeoverMs: TAKEOVER_MS},
        hasWatch: faultName !== 'steward killed',
      }));
    case 'runner lost':
      return atEach(atMs => ({runnerDies: {atMs}}));
    case 'domain cut off':
    case 'domain cut off, successors watch':
      return atEach(atMs => ({
        domainCut: {atMs, takeoverMs: TAKEOVER_MS},
        hasWatch: faultName !== 'domain cut off',
      }));
  }
}
