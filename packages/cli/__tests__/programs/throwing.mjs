throw new Error('the table of piers is missing');
