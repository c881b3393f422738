/** Loads a base model, or an adapter onto one. */
export interface LoadIntent {
  order: 'load';
  slotId: string;
  model: string;
  adapter: string | null;
  version: string;
  memoryMib: number;
}

export interface UnloadIntent {
  order: 'unload';
  slotId: string;
}

/** An order before it is given an id and a fencing number. */
export type OrderIntent = LoadIntent | UnloadIntent;
