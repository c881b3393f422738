#!/usr/bin/env node
/** Program: compares the scheduling policies and prints a table. */
import {comparePolicies} from './compare_policies.js';

const SEEDS = [1, 2, 3];
const HEAD = [
  'seed  deployment  policy         asked  on time  late  refused  worth',
  'orders  store loads',
].join('  ');

process.stdout.write(`${HEAD}\n`);
SEEDS.forEach(seed =>
  comparePolicies(seed).forEach(({deployment, policy, result}) => {
    const cells = [
      String(seed).padStart(4),
      deployment.padEnd(10),
      policy.padEnd(13),
      String(result.asked).padStart(5),
      String(result.onTime).padStart(7),
      String(result.late).padStart(4),
      String(result.refused).padStart(7),
      result.worthShare.toFixed(3).padStart(5),
      String(result.orders).padStart(6),
      String(result.storeLoads.length).padStart(11),
    ];
    process.stdout.write(`${cells.join('  ')}\n`);
  }),
);
