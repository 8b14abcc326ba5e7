import { harbour } from './harbour.mjs';

export default harbour('2');
