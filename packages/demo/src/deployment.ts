/** Sizes of the two deployments that the demo can run. */

export const DEPLOYMENT_NAMES = ['prairie', 'zorza'] as const;
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

export interface Deployment {
  region: string;
  failureDomains: string[];
  modelPool: string;
  runners: number;
  servicePool: string;
  services: number;
  loadsPerSecond: number;
  fullSpeedLoads: number;
  team: string;
  models: string[];
  adapter: string;
  service: string;
  unrepeatableCall: string;
  coldStartWeight: number;
  idleWeight: number;
}

const DEPLOYMENTS: Record<DeploymentName, Deployment> = {
  prairie: {
    region: 'sask-central',
    failureDomains: ['hall-a', 'hall-b', 'hall-c', 'hall-d'],
    modelPool: 'sage-llm',
    runners: 13,
    servicePool: 'notify-app',
    services: 4,
    loadsPerSecond: 7.5,
    fullSpeedLoads: 4,
    team: 'prairie-pantry',
    models: ['list-writer', 'shelf-reader', 'substitution-helper'],
    adapter: 'regina',
    service: 'notify',
    unrepeatableCall: 'hamper-dispatch',
    coldStartWeight: 0.3,
    idleWeight: 0.7,
  },
  zorza: {
    region: 'pomorze',
    failureDomains: ['gdansk-a', 'gdansk-b', 'slupsk'],
    modelPool: 'lm-pool',
    runners: 6,
    servicePool: 'app-front',
    services: 3,
    loadsPerSecond: 3,
    fullSpeedLoads: 4,
    team: 'zorza',
    models: ['alert-writer', 'forecast-notes', 'sky-tagger'],
    adapter: 'kaszuby',
    service: 'app',
    unrepeatableCall: 'member-ping',
    coldStartWeight: 0.7,
    idleWeight: 0.3,
  },
};

/** Returns undefined for an unknown name. */
export function findDeployment(name: string): Deployment | undefined {
  return DEPLOYMENT_NAMES.some(known => known === name)
    ? DEPLOYMENTS[name as DeploymentName]
    : undefined;
}
