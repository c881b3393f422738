/** Forwards a request for a cold model to the node that plans the model. */
import {type NodeIncarnation} from '@mimosatack/types';
import {type NodeRanking} from './node_ranking.js';
import {type PeerTask} from './peer_task.js';
import {type PlannerTask} from './planner_task.js';

export interface DemandRoute {
  incarnation: NodeIncarnation;
  ranking: NodeRanking;
  peers: PeerTask;
  planner: PlannerTask;
}

/** One node plans a model with all of its adapters. */
export function forwardDemand(modelText: string, route: DemandRoute): void {
  const [model = ''] = modelText.split(':', 1);
  const [first] = route.ranking.listTopRanked(`demand ${model}`);
  if (!first || first.incarnation === route.incarnation) {
    route.planner.post({type: 'demand', model: modelText});
  } else {
    route.peers.sendDemand(first.nodeName, modelText);
  }
}
