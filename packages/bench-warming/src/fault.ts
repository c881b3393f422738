/** Faults that a run can inject. */
import {START_MS} from './deployment.js';

/** Faults of one run; times are in virtual time. */
export interface Fault {
  faultName: FaultName;
  /** Slows the weight store down by a factor from `fromMs` on. */
  slowStore?: {fromMs: number; factor: number};
  /** Outage of the log service. */
  logDown?: {fromMs: number; untilMs: number};
  /** One node crashes; others claim its runners after `takeoverMs`. */
  nodeDies?: {atMs: number; takeoverMs: number};
  /** Whether successors check engines for overdue loads. */
  hasWatch?: boolean;
  /** A runner's host fails. */
  runnerDies?: {atMs: number};
  /** A failure domain is partitioned from all others until the end of the run. */
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
 * Failure detection takes 3 s in a cluster of eight nodes; the claim and the
 * first order, which only raises the fencing number, take the rest.
 */
const TAKEOVER_MS = 3_600;
/** Times before the start at which a process fails, one run for each. */
const FAILURE_LEADS_MS = [1_000, 2_000, 3_000, 5_000, 10_000, 20_000];

/** Lists one fault per run; process failures get a run for each lead time. */
export function listFaults(faultName: FaultName): Fault[] {
  const atEachLead = (make: (atMs: number) => Omit<Fault, 'faultName'>) =>
    FAILURE_LEADS_MS.map(leadMs => ({faultName, ...make(START_MS - leadMs)}));
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
      return atEachLead(atMs => ({
        nodeDies: {atMs, takeoverMs: TAKEOVER_MS},
        hasWatch: faultName !== 'steward killed',
      }));
    case 'runner lost':
      return atEachLead(atMs => ({runnerDies: {atMs}}));
    case 'domain cut off':
    case 'domain cut off, successors watch':
      return atEachLead(atMs => ({
        domainCut: {atMs, takeoverMs: TAKEOVER_MS},
        hasWatch: faultName !== 'domain cut off',
      }));
  }
}
