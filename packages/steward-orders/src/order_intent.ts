/** Orders without their id and fencing number. */

/** An order to load a base model, or an adapter on top of one. */
export interface LoadIntent {
  order: 'load';
  slotId: string;
  model: string;
  adapter: string | null;
  version: string;
  memoryMib: number;
}

/** An order to unload a base model or an adapter. */
export interface UnloadIntent {
  order: 'unload';
  slotId: string;
}

/** An order without its id and fencing number. */
export type OrderIntent = LoadIntent | UnloadIntent;
