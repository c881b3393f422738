export {type RandomSource, SeededRandom, addJitter, pickOne} from './random.js';
