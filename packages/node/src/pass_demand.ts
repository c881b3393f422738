/** Brings a request for a cold model to the node that plans the model. */
import {type NodeIncarnation} from '@mimosatack/types';
import {type NodeRanking} from './node_ranking.js';
import {type PeerTask} from './peer_task.js';
import {type PlannerTask} from './planner_task.js';

/** Who may plan it. */
export interface DemandPath {
  incarnation: NodeIncarnation;
  ranking: NodeRanking;
  peers: PeerTask;
  planner: PlannerTask;
}

/** One node plans a model, whichever of its adapters is asked for. */
export function passDemand(modelText: string, path: DemandPath): void {
  const [model = ''] = modelText.split(':', 1);
  const [first] = path.ranking.listFirst(`demand ${model}`);
  if (!first || first.incarnation === path.incarnation) {
    path.planner.post({type: 'demand', model: modelText});
  } else {
    path.peers.sendDemand(first.nodeName, modelText);
  }
}
